import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as testFleet from '../vms/TestFleet.js';
import * as acceptAllSequenceWindow from './AcceptAllSequenceWindow.js';

/** Gets the state of a peer after its exchange `starting` arrives later than its newer exchange `serving`. */
function getStateAfterReordering(createSequenceWindow: () => core.links.SequenceWindow): string | undefined {
  const fleet = testFleet.TestFleet.start(3, 89, { peers: Object.assign(new core.vms.PeerRules(), { createSequenceWindow }) });
  const [node, peer] = fleet.nodes;
  [['serving', 900_001], ['starting', 900_000]].forEach(([state, sequence]) => node!.vm.post({
    type: 'peer-envelope',
    envelope: {
      format: 1,
      from: peer!.identity,
      sequence: Number(sequence),
      message: {
        type: 'exchange', direction: 'reply', document: undefined, state: state as 'starting', drains: [], ejections: [], peers: [],
      },
    },
  }));
  return fleet.getStatus(node!).peers.peers.find((other) => other.identity.name === peer!.identity.name)?.state;
}

vitest.describe('SequenceWindow', () => {
  vitest.it('drops an exchange that arrives after a newer one (guards against a peer state that reverts to an older one)', () => {
    vitest.expect(getStateAfterReordering(() => new core.links.SequenceWindow())).toBe('reachable');
    vitest.expect(getStateAfterReordering(() => new acceptAllSequenceWindow.AcceptAllSequenceWindow())).toBe('starting');
  });

  vitest.it('drops duplicates and accepts reordered messages of other types (guards against handling a message twice and against dropping a late one)', () => {
    const window = new core.links.SequenceWindow();
    vitest.expect(['exchange', 'other', 'other', 'exchange', 'exchange'].map((kind, index) => window
      .accept([7, 5, 5, 7, 9][index]!, kind as 'exchange'))).toEqual(['accepted', 'accepted', 'duplicate', 'duplicate', 'accepted']);
  });
});
