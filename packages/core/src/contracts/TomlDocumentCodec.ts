import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import * as smolToml from 'smol-toml';

import type * as deploymentDocument from './DeploymentDocument.js';
import * as documentCodec from './DocumentCodec.js';
import type * as documentFailure from './DocumentFailure.js';
import * as documentSchema from './DocumentSchema.js';
import * as documentSeal from './DocumentSeal.js';
import * as tomlReader from './TomlReader.js';

type DecodeResult<Value> = neverthrow.Result<Value, documentFailure.DocumentFailure>;

const READER = new tomlReader.TomlReader(documentSchema.DOCUMENT_SCHEMA);

/** Decodes and encodes configuration documents as sealed TOML. */
export class TomlDocumentCodec extends documentCodec.DocumentCodec {
  /** @param publicKey - Public key of the console; if undefined, unsealed text is decoded, as the console does. */
  constructor(private readonly publicKey: crypto.KeyObject | undefined) {
    super();
  }

  override decode(text: string): DecodeResult<deploymentDocument.DeploymentDocument> {
    const unsealed: DecodeResult<string> = this.publicKey === undefined
      ? neverthrow.ok(text)
      : documentSeal.DocumentSeal.verifyText(text, this.publicKey);
    return unsealed
      .andThen((body) => READER.read(body))
      .map((fields) => TomlDocumentCodec.buildDocument(fields, text));
  }

  /**
   * Encodes the fields of a document as unsealed TOML.
   * @param fields - Validated fields.
   */
  static encode(fields: documentSchema.DocumentFields): string {
    return smolToml.stringify(fields);
  }

  private static buildDocument(fields: documentSchema.DocumentFields, text: string): deploymentDocument.DeploymentDocument {
    return {
      reference: { version: fields.version, digest: crypto.createHash('sha256').update(text).digest('hex') },
      deployment: fields.deployment,
      baseDigest: fields.base_digest,
      places: fields.places,
      services: fields.services.map((service) => ({
        name: service.name,
        floorInstances: service.floor_instances,
        slotsPerInstance: service.slots_per_instance,
        connectionsPerInstance: service.connections_per_instance,
        detection: service.detection,
        requestIdEcho: service.request_id_echo,
        notRunAnswers: service.not_run_answers,
        answerDigest: service.answer_digest,
        kinds: service.kinds.map((kind) => ({
          name: kind.name,
          method: kind.method,
          pathPrefix: kind.path_prefix,
          repeatability: kind.repeatability,
          priority: kind.priority,
          weight: kind.weight,
          deadlineMs: kind.deadline_ms,
          onTimeMs: kind.on_time_ms,
        })),
      })),
      members: fields.members.map((member) => ({
        name: member.name, counting: member.counting, share: member.share, keyDigest: member.key_digest,
      })),
      text,
    };
  }
}
