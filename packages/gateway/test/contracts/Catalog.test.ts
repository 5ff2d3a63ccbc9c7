import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testRoute from '../TestRoute.js';

function buildChange(
  id: string,
  revision: number,
  overrides: Partial<gateway.upstreams.InstanceRecord> = {},
): gateway.contracts.CatalogChange {
  return {
    type: 'instance', id, revision, record: testRoute.buildInstance(id, overrides),
  };
}

vitest.describe('Catalog', () => {
  vitest.it('never goes back to an older configuration or entry', () => {
    const catalog = new gateway.contracts.Catalog();
    const build = (version: number, revision: number): gateway.contracts.CatalogChange => ({
      type: 'configuration', revision, configuration: testRoute.buildConfiguration(version, []),
    });
    catalog.applyChanges([build(7, 20), buildChange('i1', 21, { state: 'draining' })], 21);
    vitest.expect(catalog.applyChanges([build(5, 10), buildChange('i1', 12)], 12).size).toBe(0);
    vitest.expect(catalog.getConfiguration()?.version).toBe(7);
    vitest.expect(catalog.listInstances()[0]?.state).toBe('draining');
    vitest.expect(catalog.getRevision()).toBe(21);
  });

  vitest.it('removes what a snapshot does not hold, but not what came after it', () => {
    const catalog = new gateway.contracts.Catalog();
    catalog.applyChanges([buildChange('i1', 5), buildChange('i2', 30)], 30);
    catalog.applySnapshot({ revision: 20, changes: [] });
    vitest.expect(catalog.listInstances().map((record) => record.id)).toEqual(['i2']);
  });

  vitest.it('tells a peer what came after its revision, and everything if the log does not reach back', () => {
    const catalog = new gateway.contracts.Catalog();
    catalog.applySnapshot({ revision: 10, changes: [buildChange('i1', 5)] });
    catalog.applyChanges([buildChange('i2', 11)], 11);
    vitest.expect(catalog.listChangesAfter(10)?.map((change) => change.revision)).toEqual([11]);
    vitest.expect(catalog.listChangesAfter(4)).toBeUndefined();
    vitest.expect(catalog.buildSnapshot()).toMatchObject({ revision: 11, changes: [{ id: 'i1' }, { id: 'i2' }] });
  });
});

vitest.describe('RetainedInstances', () => {
  const record = testRoute.buildInstance('i1');

  vitest.it('keeps an instance whose entry lapsed while the store was away until it had time to come back', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.listInUse([record], 0);
    retained.recordReconnection(6_000, 10_000);
    vitest.expect(retained.listInUse([], 10_001)).toEqual([record]);
    vitest.expect(retained.listInUse([], 12_300)).toEqual([]);
  });

  vitest.it('gives up an instance at once that goes while the store is there, or that was leaving', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.listInUse([record], 0);
    retained.recordReconnection(1_000, 10_000);
    vitest.expect(retained.listInUse([], 10_001)).toEqual([]);
    retained.listInUse([{ ...record, state: 'draining' }], 10_002);
    retained.recordReconnection(6_000, 20_000);
    vitest.expect(retained.listInUse([], 20_001)).toEqual([]);
  });

  vitest.it('gives up an instance whose address another one has', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.listInUse([record], 0);
    retained.recordReconnection(6_000, 10_000);
    const other = { ...record, id: 'i2', service: 's2' };
    vitest.expect(retained.listInUse([other], 10_001)).toEqual([other]);
  });
});
