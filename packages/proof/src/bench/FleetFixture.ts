import * as core from '@tamarackferry/core';

import type * as fleetSize from './FleetSize.js';

const PLACES = ['a', 'b', 'c'];

/** Document, list and peers of a fleet of a given size. */
export class FleetFixture {
  private readonly keys = core.contracts.DocumentKeys.fromText('bench');

  /** @param size - Size of the fleet. */
  constructor(readonly size: fleetSize.FleetSize) {}

  /** Creates the codec that accepts the documents of the fixture. */
  createCodec(): core.contracts.DocumentCodec {
    return new core.contracts.TomlDocumentCodec(this.keys.publicKey);
  }

  /**
   * Builds the sealed text of a document.
   * @param version - Version of the document.
   */
  buildDocument(version: number): string {
    const { size } = this;
    const kinds = Array.from({ length: size.kindsPerService }, (_, index) => ({
      name: `kind-${index}`,
      method: index === 0 ? 'GET' as const : 'POST' as const,
      path_prefix: index === 0 ? '/' : `/kind-${index}`,
      repeatability: index === 0 ? 'idempotent' as const : 'non-idempotent' as const,
      priority: 'interactive' as const,
      weight: 1,
      deadline_ms: 2_000,
      on_time_ms: 500,
    }));
    return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode({
      format: 1,
      deployment: 'bench',
      version,
      base_digest: '',
      places: PLACES.map((name) => ({ name, region: 'r' })),
      services: Array.from({ length: size.services }, (_, index) => ({
        name: `service-${index}`,
        floor_instances: Math.ceil(size.instancesPerService * 0.7),
        slots_per_instance: 4,
        connections_per_instance: 330,
        detection: 'cautious' as const,
        request_id_echo: 'echoed' as const,
        not_run_answers: 'declared' as const,
        answer_digest: 'absent' as const,
        kinds,
      })),
      members: Array.from({ length: size.members }, (_, index) => ({
        name: `member-${index}`, counting: 'weighted-on-time' as const, share: 1, key_digest: '',
      })),
    }), this.keys.privateKey);
  }

  /** Builds the platform's list. */
  buildList(): readonly core.vms.ListEntry[] {
    const { size } = this;
    const instances = Array.from({ length: size.services }, (_, service) => (
      Array.from({ length: size.instancesPerService }, (__, index): core.vms.ListEntry => ({
        role: 'upstream',
        name: `service-${service}-${index}`,
        service: `service-${service}`,
        incarnation: 'first',
        host: '10.1.0.1',
        port: 8_080,
        place: PLACES[index % PLACES.length]!,
        state: 'live',
      }))));
    const vms = Array.from({ length: size.vms }, (_, index): core.vms.ListEntry => {
      const { incarnation, ...address } = FleetFixture.buildIdentity(index);
      return { role: 'entry', state: 'live', ...address };
    });
    return [...vms, ...instances.flat()];
  }

  /**
   * Builds the identity of a VM.
   * @param index - Position of the VM; the measured one is 0.
   */
  static buildIdentity(index: number): core.vms.VmIdentity {
    return {
      name: `vm-${index}`,
      incarnation: `inc-${index}`,
      host: `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      port: 7_000,
      peerPort: 7_001,
      place: PLACES[index % PLACES.length]!,
    };
  }
}
