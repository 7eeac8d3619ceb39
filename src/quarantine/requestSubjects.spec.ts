import { describe, it } from 'node:test';

import { expect } from 'earl';

import { keyOfPart, requestSubjects } from './requestSubjects.js';

const REQUEST = {
  method: 'POST',
  target: '/chat/1',
  clientAccount: 'account-1',
  body: Buffer.from('hello'),
  service: 'engine',
  allSharedParts: () => ['a1', 'b2', 'a1'],
};

describe(requestSubjects.name, () => {
  it('names the request, and each part that it shares with others once', () => {
    const subjects = requestSubjects(REQUEST);
    expect(subjects.whole.part).toEqual(undefined);
    expect(subjects.parts().map(({ part }) => part)).toEqual(['engine/a1', 'engine/b2']);
  });

  it('gives a part the same digest in all requests of a service, and another one in other services', () => {
    const other = {
      ...REQUEST,
      target: '/chat/2',
      clientAccount: 'account-2',
      allSharedParts: () => ['b2'],
    };
    const [, second] = requestSubjects(REQUEST).parts();
    const request = requestSubjects(other);
    const [shared] = request.parts();
    expect(shared).toEqual(second);
    expect(request.whole.digest === requestSubjects(REQUEST).whole.digest).toEqual(false);
    const [elsewhere] = requestSubjects({ ...other, service: 'chat' }).parts();
    expect(elsewhere?.digest === shared?.digest).toEqual(false);
  });

  // Guards against a part that crashes runners and is never found, since it is not among the first of its prompt.
  it('names all parts of a long prompt, and keeps 8 bytes of each', () => {
    const ids = Array.from({ length: 3_000 }, (_, index) => `p${index}`);
    const subjects = requestSubjects({ ...REQUEST, allSharedParts: () => ids });
    const parts = subjects.parts();
    expect(parts.map(({ part }) => part)).toEqual(ids.map((id) => `engine/${id}`));
    expect([...subjects.partKeys]).toEqual(parts.map(({ digest }) => keyOfPart(digest)));
    const last = subjects.partKeys.at(-1);
    expect(subjects.parts((key) => key === last)).toEqual(parts.slice(-1));
  });
});
