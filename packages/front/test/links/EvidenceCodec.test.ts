import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

const ROWS = [
  {
    instance: 'i1', service: 's1', deviation: 1.5, inFlight: 2,
  },
  {
    instance: 'i2', service: 's2', deviation: 0, inFlight: 1,
  },
];

vitest.describe('EvidenceCodec', () => {
  vitest.it('decodes what it encoded', () => {
    const sent = JSON.stringify(front.links.EvidenceCodec.encode({ from: 'vm1', rows: ROWS }));
    vitest.expect(front.links.EvidenceCodec.decode(JSON.parse(sent))).toEqual({ from: 'vm1', rows: ROWS });
  });

  vitest.it.each([
    ['a row of another length', { from: 'vm1', rows: { s1: [['i1', 1]] } }],
    ['a count that is none', { from: 'vm1', rows: { s1: [['i1', 1, -1]] } }],
    ['an endless belief', { from: 'vm1', rows: { s1: [['i1', 1e9, 0]] } }],
    ['no sender', { rows: {} }],
  ])('takes nothing from a notice with %s', (_, value) => {
    vitest.expect(front.links.EvidenceCodec.decode(value)).toBeUndefined();
  });
});
