import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import * as smolToml from 'smol-toml';

import type * as deploymentDocument from './DeploymentDocument.js';
import * as documentCodec from './DocumentCodec.js';
import type * as documentFailure from './DocumentFailure.js';
import * as documentSchema from './DocumentSchema.js';
import * as documentSeal from './DocumentSeal.js';

type DecodeResult<Value> = neverthrow.Result<Value, documentFailure.DocumentFailure>;

function parseToml(text: string): DecodeResult<unknown> {
  return neverthrow.fromThrowable(smolToml.parse, (error): documentFailure.DocumentFailure => ({
    type: 'syntax',
    line: error instanceof smolToml.TomlError ? error.line : 0,
    detail: error instanceof smolToml.TomlError ? error.message.split('\n')[0] ?? '' : 'not readable as TOML',
  }))(text);
}

/** Reads and writes configuration documents as sealed TOML. */
export class TomlDocumentCodec extends documentCodec.DocumentCodec {
  /** @param publicKey - Public key of the console; undefined reads unsealed text, for the console itself. */
  constructor(private readonly publicKey: crypto.KeyObject | undefined) {
    super();
  }

  override decode(text: string): DecodeResult<deploymentDocument.DeploymentDocument> {
    const unsealed: DecodeResult<string> = this.publicKey === undefined
      ? neverthrow.ok(text)
      : documentSeal.DocumentSeal.verifyText(text, this.publicKey);
    return unsealed
      .andThen((body) => parseToml(body).andThen((value) => TomlDocumentCodec.checkFields(value, body)))
      .map((fields) => TomlDocumentCodec.buildDocument(fields, text));
  }

  /**
   * Writes the fields of a document as unsealed TOML.
   * @param fields - Checked fields.
   */
  static encode(fields: documentSchema.DocumentFields): string {
    return `${smolToml.stringify(fields)}`;
  }

  /**
   * Checks parsed fields against the schema.
   * @param value - Parsed TOML.
   * @param text - Text that it was parsed from, to name the line of a wrong field.
   */
  static checkFields(value: unknown, text: string): DecodeResult<documentSchema.DocumentFields> {
    const parsed = documentSchema.DOCUMENT_SCHEMA.safeParse(value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const issue = parsed.error.issues[0];
    const path = issue?.path ?? [];
    const found = path.reduce<unknown>((part, key) => (part as Record<PropertyKey, unknown> | undefined)?.[key], value);
    return neverthrow.err({
      type: 'field',
      field: path.join('.'),
      line: TomlDocumentCodec.findLine(text, path),
      found: JSON.stringify(found) ?? 'nothing',
      expected: issue?.message ?? 'a valid value',
    });
  }

  private static findLine(text: string, path: readonly PropertyKey[]): number {
    // Tables of an array stand in order, so the n-th header of the table leads to the field.
    const lines = text.split('\n');
    const start = path.reduce<number>((from, key, position) => {
      if (typeof key !== 'number') return from;
      const table = path.slice(0, position).filter((part) => typeof part === 'string').join('.');
      const headers = lines.flatMap((line, index) => (index >= from && line.trim() === `[[${table}]]` ? [index] : []));
      return headers[key] ?? from;
    }, 0);
    const last = path.findLast((part) => typeof part === 'string');
    const offset = lines.slice(start).findIndex((line) => line.trim().startsWith(`${String(last)} `));
    return offset < 0 ? start + 1 : start + offset + 1;
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
