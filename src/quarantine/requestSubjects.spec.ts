import { describe, it } from 'node:test';

import { expect } from 'earl';

import { requestSubjects } from './requestSubjects.js';

const REQUEST = {
  method: 'POST',
  target: '/chat/1',
  clientAccount: 'account-1',
  body: Buffer.from('hello'),
  service: 'engine',
  sharedParts: ['a1', 'b2', 'a1'],
};

describe(requestSubjects.name, () => {
  it('names the request, and each part that it shares with others once', () => {
    const subjects = requestSubjects(REQUEST);
    expect(subjects.map(({ part }) => part)).toEqual([undefined, 'engine/a1', 'engine/b2']);
  });

  it('gives a part the same digest in all requests of a service, and another one in other services', () => {
    const other = {
      ...REQUEST,
      target: '/chat/2',
      clientAccount: 'account-2',
      sharedParts: ['b2'],
    };
    const [, , second] = requestSubjects(REQUEST);
    const [request, shared] = requestSubjects(other);
    expect(shared).toEqual(second);
    expect(request?.digest === requestSubjects(REQUEST)[0]?.digest).toEqual(false);
    const [, elsewhere] = requestSubjects({ ...other, service: 'chat' });
    expect(elsewhere?.digest === shared?.digest).toEqual(false);
  });

  it('bounds the number of parts, which callers choose', () => {
    const sharedParts = Array.from({ length: 1_000 }, (_, index) => `p${index}`);
    expect(requestSubjects({ ...REQUEST, sharedParts }).length).toEqual(33);
  });
});
