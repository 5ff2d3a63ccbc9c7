import * as core from '@tamarackferry/core';
import * as operator from '@tamarackferry/operator';
import * as vitest from 'vitest';

function buildFields(version: number, places: readonly string[], share: number): core.contracts.DocumentFields {
  return {
    format: 1,
    deployment: 'test',
    version,
    base_digest: '',
    places: places.map((name) => ({ name, region: 'r' })),
    services: [],
    members: [{
      name: 'museum', counting: 'weighted-on-time', share, key_digest: '',
    }],
  };
}

vitest.describe('DocumentChanges', () => {
  vitest.it('matches list items by name (guards against reporting items as changed because their positions shifted)', () => {
    const changes = operator.documents.DocumentChanges.compare(buildFields(1, ['a', 'b'], 1), buildFields(2, ['b', 'c'], 2));
    vitest.expect(changes.map((change) => `${change.type} ${change.path} ${change.before}>${change.after}`)).toEqual([
      'added places c name >c',
      'added places c region >r',
      'changed members museum share 1>2',
      'removed places a name a>',
      'removed places a region r>',
    ]);
  });
});
