import { describe, it } from 'node:test';

import { expect } from 'earl';

import { parseRetryAfter } from './parseRetryAfter.js';

describe(parseRetryAfter.name, () => {
  it('accepts whole and fractional seconds', () => {
    const texts = ['0', '4', ' 2 ', '0.25', '60'];
    const pauses = texts.map((text) => parseRetryAfter(text));
    expect(pauses.map(({ milliseconds }) => milliseconds)).toEqual([0, 4_000, 2_000, 250, 60_000]);
    expect(pauses.some(({ isCorrected }) => isCorrected)).toEqual(false);
  });

  it('replaces malformed or excessive values, and reports them as corrected', () => {
    const unreadable = [
      '-4',
      'soon',
      '',
      'NaN',
      '1e9',
      'Infinity',
      'Wed, 21 Oct 2026 07:28:00 GMT',
    ];
    for (const text of unreadable) {
      expect(parseRetryAfter(text)).toEqual({ milliseconds: 1_000, isCorrected: true });
    }
    expect(parseRetryAfter('86400')).toEqual({ milliseconds: 60_000, isCorrected: true });
  });
});
