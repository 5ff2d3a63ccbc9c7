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
  vitest.it('decodes an encoded notice to an equal one', () => {
    const notice = { from: 'vm1', rows: ROWS, outcomes: [{ service: 's1', requests: 40, unserved: 5 }] };
    const sent = JSON.stringify(front.links.EvidenceCodec.encode(notice));
    vitest.expect(front.links.EvidenceCodec.decode(JSON.parse(sent))).toEqual(notice);
  });

  // Guards against names that objects have already, and against a name that makes the whole notice unreadable for its receivers.
  vitest.it('keeps services whose names are those of properties of all objects, and leaves out names that no VM reads', () => {
    const build = (service: string): (typeof ROWS)[number] => ({ ...ROWS[0]!, service });
    const rows = ['constructor', 'toString', 'x'.repeat(201), '', '__proto__'].map((service) => build(service));
    const outcomes = [{ service: 'x'.repeat(201), requests: 4, unserved: 1 }, { service: 's1', requests: 4, unserved: 1 }];
    const sent = JSON.stringify(front.links.EvidenceCodec.encode({ from: 'vm1', rows, outcomes }));
    vitest.expect(front.links.EvidenceCodec.decode(JSON.parse(sent))).toEqual({ from: 'vm1', rows: rows.slice(0, 2), outcomes: outcomes.slice(1) });
  });

  // A fleet is updated one VM at a time.
  vitest.it('decodes a notice of a VM that sends no outcomes', () => {
    vitest.expect(front.links.EvidenceCodec.decode({ from: 'vm1', rows: { s1: [['i1', 1.5, 2]] } }))
      .toEqual({ from: 'vm1', rows: [ROWS[0]], outcomes: [] });
  });

  vitest.it('keeps the limits of instances, and that one has ended', () => {
    const rows = [
      { ...ROWS[0]!, limit: { perSecond: 2.6, ageMs: 120, sent: 7 } },
      { ...ROWS[1]!, limit: { perSecond: undefined, ageMs: 40, sent: 0 } },
    ];
    const sent = JSON.stringify(front.links.EvidenceCodec.encode({ from: 'vm1', rows, outcomes: [] }));
    vitest.expect(front.links.EvidenceCodec.decode(JSON.parse(sent))).toEqual({ from: 'vm1', rows, outcomes: [] });
  });

  // A fleet is updated one VM at a time.
  vitest.it('leaves the rows readable for VMs that know of no limits', () => {
    const encoded = front.links.EvidenceCodec.encode({
      from: 'vm1', rows: [{ ...ROWS[0]!, limit: { perSecond: 2.6, ageMs: 120, sent: 7 } }], outcomes: [],
    });
    vitest.expect(encoded.rows).toEqual({ s1: [['i1', 1.5, 2]] });
  });

  vitest.it.each([
    ['a negative limit', { from: 'vm1', rows: { s1: [['i1', 1, 0]] }, limits: [['i1', -1, 0, 0]] }],
    ['an absurd limit', { from: 'vm1', rows: { s1: [['i1', 1, 0]] }, limits: [['i1', 1e9, 0, 0]] }],
    ['a row without a request count', { from: 'vm1', rows: { s1: [['i1', 1]] } }],
    ['a negative request count', { from: 'vm1', rows: { s1: [['i1', 1, -1]] } }],
    ['log odds out of range', { from: 'vm1', rows: { s1: [['i1', 1e9, 0]] } }],
    ['no sender', { rows: {} }],
  ])('rejects a notice with %s', (_, value) => {
    vitest.expect(front.links.EvidenceCodec.decode(value)).toBeUndefined();
  });
});
