import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

function createDirectory(): { directory: core.upstreams.UpstreamDirectoryTask; listStates: () => readonly string[] } {
  const simulation = new poolSimulation.PoolSimulation();
  const directory = new core.upstreams.UpstreamDirectoryTask(simulation.createContext('vm', 'a'));
  const listStates = (): readonly string[] => {
    const reports: core.upstreams.UpstreamDirectoryStatus[] = [];
    directory.post({ type: 'status-requested', replyTo: { post: (report) => reports.push(report) } });
    return reports[0]!.upstreams.flatMap((upstream) => upstream.instances.map((each) => `${each.name} ${each.state}`));
  };
  return { directory, listStates };
}

function acceptServices(directory: core.upstreams.UpstreamDirectoryTask, names: readonly string[]): void {
  directory.post({
    type: 'document-accepted',
    document: {
      reference: { version: 1, digest: '' },
      deployment: 'test',
      baseDigest: '',
      places: [],
      services: names.map((name) => poolSimulation.buildContract({ name })),
      members: [],
      text: '',
    },
  });
}

vitest.describe('UpstreamDirectoryTask', () => {
  vitest.it('keeps drain notices while no configuration document declares the service (guards against attempts at drained instances after a configuration change)', () => {
    const { directory, listStates } = createDirectory();
    directory.post({ type: 'drain', notices: [{ service: 's', instance: 'i0', incarnation: 'x' }] });
    directory.post({ type: 'list', entries: poolSimulation.buildEntries(2) });
    acceptServices(directory, ['s']);
    vitest.expect(listStates()).toEqual(['i0 leaving', 'i1 in-service']);
    directory.post({ type: 'drain', notices: [{ service: 's', instance: 'i1', incarnation: 'x' }] });
    acceptServices(directory, []);
    vitest.expect(listStates()).toEqual([]);
    acceptServices(directory, ['s']);
    vitest.expect(listStates()).toEqual(['i0 leaving', 'i1 leaving']);
  });

  vitest.it('replies to an acquire for a service that is not declared (guards against requests that wait forever)', () => {
    const replies: unknown[] = [];
    createDirectory().directory.post({
      type: 'to-service',
      service: 'other',
      message: {
        type: 'acquire', attemptId: '1', excluded: [], replyTo: { post: (reply) => replies.push(reply) },
      },
    });
    vitest.expect(replies).toEqual([{ type: 'unavailable', attemptId: '1', cause: 'none' }]);
  });
});
