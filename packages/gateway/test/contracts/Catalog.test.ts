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
  vitest.it('ignores a change with an older version or revision', () => {
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

  vitest.it('removes instances that a snapshot does not contain, unless they are newer than the snapshot', () => {
    const catalog = new gateway.contracts.Catalog();
    catalog.applyChanges([buildChange('i1', 5), buildChange('i2', 30)], 30);
    catalog.applySnapshot({ revision: 20, changes: [] });
    vitest.expect(catalog.listInstances().map((record) => record.id)).toEqual(['i2']);
  });

  vitest.it('lists the changes after the revision of a peer, or none at all if the log no longer contains all of them', () => {
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
  const RETENTION = { untilMs: 12_000, returnRevision: 9 };
  const removeAt = (revision: number): (() => number) => () => revision;

  vitest.it('retains an instance whose entry expired during an outage of the store until it has had time to republish it', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.updateInUse([record], removeAt(0), undefined);
    vitest.expect(retained.updateInUse([], removeAt(9), RETENTION)).toEqual([record]);
    vitest.expect(retained.updateInUse([], removeAt(9), undefined)).toEqual([]);
  });

  vitest.it('drops an instance immediately if its entry is removed while the store is reachable, or if it was draining', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.updateInUse([record], removeAt(0), undefined);
    vitest.expect(retained.updateInUse([], removeAt(9), undefined)).toEqual([]);
    retained.updateInUse([{ ...record, state: 'draining' }], removeAt(0), undefined);
    vitest.expect(retained.updateInUse([], removeAt(9), RETENTION)).toEqual([]);
  });

  vitest.it('drops an instance whose entry was removed after the outage', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.updateInUse([record], removeAt(0), undefined);
    vitest.expect(retained.updateInUse([], removeAt(10), RETENTION)).toEqual([]);
  });

  vitest.it('drops a retained instance if another instance has its address', () => {
    const retained = new gateway.contracts.RetainedInstances();
    retained.updateInUse([record], removeAt(0), undefined);
    const other = { ...record, id: 'i2', service: 's2' };
    vitest.expect(retained.updateInUse([other], removeAt(9), RETENTION)).toEqual([other]);
  });
});
