import * as vitest from 'vitest';

import * as testFleet from './TestFleet.js';

const { expect } = vitest;

vitest.describe('LifecycleTask', () => {
  vitest.it('flushes evidence last and stops once (guards against lost counts and against a process that exits while callers use its address)', () => {
    const fleet = testFleet.TestFleet.start(5, 83);
    const [node] = fleet.nodes;
    node!.vm.post({ type: 'stop' });
    node!.vm.post({ type: 'stop' });
    fleet.publish(2);
    expect(fleet.getStatus(node!).state).toBe('leaving');
    fleet.advanceBy(9_900);
    expect(node!.outputs.some((output) => output.type === 'stopped')).toBe(false);
    fleet.advanceBy(10_000);
    const types = node!.outputs.map((output) => output.type);
    expect(types.filter((type) => type === 'stopped')).toHaveLength(1);
    expect(types[types.indexOf('stopped') - 1]).toBe('evidence-flush');
  });
});
