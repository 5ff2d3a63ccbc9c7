import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('ServiceTable', () => {
  vitest.it('reports the outcomes of the services that are served worst, and not of all if there are many (guards against large datagrams)', () => {
    const table = new gateway.callers.ServiceTable({
      vm: 'vm1',
      place: 'p1',
      random: new core.randomness.SeededRandomSource(1),
      budget: { ratio: 0.2, slack: 10, windowMs: 10_000 },
      floorShare: 0.7,
      statementLog: new gateway.callers.StatementLog({ post: () => undefined }),
    });
    Array.from({ length: 500 }, (_, index) => table.getService(`s${index}`).outcomes.record(index === 321 ? 'unserved' : 'served', 100));
    table.getService('idle');
    const outcomes = table.listOutcomes(200);
    vitest.expect(outcomes[0]).toEqual({ service: 's321', requests: 1, unserved: 1 });
    vitest.expect(outcomes.length).toBeLessThanOrEqual(100);
  });
});
