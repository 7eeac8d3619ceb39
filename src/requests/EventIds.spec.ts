import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SignedTokens } from '../peers/SignedTokens.js';
import { EventIdVerifier, EventIds } from './EventIds.js';

const STREAM = {
  attemptId: 'attempt-1',
  runnerId: 'runner',
  service: 'chat',
  clientAccount: 'litoral.showroom',
  requestId: 'request',
};

const tokens = new SignedTokens({ secrets: ['a secret of the whole fleet'] });
const otherFleetTokens = new SignedTokens({ secrets: ['a secret of another fleet'] });

describe(EventIds.name, () => {
  it('identifies the stream and the number of each chunk', () => {
    const [ids, reader] = [new EventIds(tokens, STREAM), new EventIdVerifier(tokens)];
    for (const sequence of [1, 2, 999_999_999]) {
      const opened = reader.verify(ids.of(sequence));
      expect(opened?.sequence).toEqual(sequence);
      expect({ ...opened!.token }).toEqual({ ...opened!.token, ...STREAM });
    }
  });

  // Guards against a caller that reads another account's stream, or has a runner asked for chunks
  // that were never sent. Here it sends an event id of another form, another secret or another
  // stream. It happens if a part of the id is not checked, or is taken from the id that was
  // verified before.
  const id = new EventIds(tokens, STREAM).of(7);
  const [token = '', , tag = ''] = id.split('.');
  const changed = `${token.slice(0, 20)}${token[20] === 'A' ? 'B' : 'A'}${token.slice(21)}`;
  const tagged = (text: string): string => `${text}.${tokens.tag('resume-event', text)}`;
  const refused: Record<string, string> = {
    nothing: '',
    'no number': token,
    'no tag': `${token}.7`,
    'an empty tag': `${token}.7.`,
    'a cut tag': id.slice(0, -1),
    'a longer tag': `${id}A`,
    'another number under the same tag': `${token}.8.${tag}`,
    'a tag of another purpose': `${token}.7.${tokens.tag('resume', `${token}.7`)}`,
    'a tag of another fleet': `${token}.7.${otherFleetTokens.tag('resume-event', `${token}.7`)}`,
    'chunk 0': tagged(`${token}.0`),
    'a leading zero': tagged(`${token}.07`),
    'a number beyond all chunks': tagged(`${token}.1000000000`),
    'a line end': `${id}\n`,
    'no token': tagged('.7'),
    'a changed token': `${changed}.7.${tag}`,
    'a changed token under a tag': tagged(`${changed}.7`),
    'another fleet': new EventIds(otherFleetTokens, STREAM).of(7),
  };
  for (const [name, text] of Object.entries(refused)) {
    it(`refuses ${name}, also after an id that is good`, () => {
      const reader = new EventIdVerifier(tokens);
      expect(reader.verify(text)).toEqual(undefined);
      expect(reader.verify(id)?.sequence).toEqual(7);
      expect(reader.verify(text)).toEqual(undefined);
      expect(reader.verify(id)?.sequence).toEqual(7);
    });
  }
});
