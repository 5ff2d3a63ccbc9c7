import * as core from '@tamarackferry/core';

import type * as deploymentPlan from './DeploymentPlan.js';

/** Change of one service in a new document. */
export interface ServiceChange {
  readonly service: string;
  readonly floorInstances?: number;
  readonly detection?: core.contracts.DetectionPolicyName;
}

/** Writes the sealed documents of a fake deployment, as its console would. */
export class DocumentWriter {
  private readonly keys = core.contracts.DocumentKeys.fromText('proof');

  private services: readonly core.contracts.ServiceContract[];

  /** @param plan - Deployment that the documents are written for. */
  constructor(private readonly plan: deploymentPlan.DeploymentPlan) {
    this.services = plan.services.map((service) => service.contract);
  }

  /** Creates a codec that reads the documents of this writer. */
  createCodec(): core.contracts.TomlDocumentCodec {
    return new core.contracts.TomlDocumentCodec(this.keys.publicKey);
  }

  /** Lists the contracts of the last written document. */
  listContracts(): readonly core.contracts.ServiceContract[] {
    return this.services;
  }

  /**
   * Applies changes and writes the next document.
   * @param version - Version of the document.
   * @param changes - Changes of single services, kept for later documents.
   */
  writeText(version: number, changes: readonly ServiceChange[]): string {
    this.services = this.services.map((service) => changes
      .filter((change) => change.service === service.name)
      .reduce((changed, { service: _, ...fields }) => ({ ...changed, ...fields }), service));
    const text = core.contracts.TomlDocumentCodec.encode({
      format: 1,
      deployment: this.plan.name,
      version,
      base_digest: '',
      places: this.plan.places.map((place) => ({ ...place })),
      services: this.services.map((service) => ({
        name: service.name,
        floor_instances: service.floorInstances,
        slots_per_instance: service.slotsPerInstance,
        connections_per_instance: service.connectionsPerInstance,
        detection: service.detection,
        request_id_echo: service.requestIdEcho,
        not_run_answers: service.notRunAnswers,
        answer_digest: service.answerDigest,
        kinds: service.kinds.map((kind) => ({
          name: kind.name,
          method: kind.method as 'GET',
          path_prefix: kind.pathPrefix,
          repeatability: kind.repeatability,
          priority: kind.priority,
          weight: kind.weight,
          deadline_ms: kind.deadlineMs,
          on_time_ms: kind.onTimeMs,
        })),
      })),
      members: this.plan.members.map((member) => ({
        name: member.name, counting: member.counting, share: member.share, key_digest: member.keyDigest,
      })),
    });
    return core.contracts.DocumentSeal.sealText(text, this.keys.privateKey);
  }
}
