import * as fs from 'node:fs';
import * as path from 'node:path';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as upstreams from '../upstreams/index.js';
import type * as demoFailure from './DemoFailure.js';
import type * as demoUpstream from './DemoUpstream.js';

const DIRECTORY = path.join(import.meta.dirname, '..', '..', 'presets');

const SCHEMA = zod.strictObject({
  gray_mode: zod.enum(upstreams.UPSTREAM_MODES),
  instances: zod.array(zod.strictObject({
    service: zod.string(), count: zod.int().min(1).max(100), service_time_ms: zod.int().min(0).max(60_000),
  })).min(1),
  loads: zod.array(zod.strictObject({
    member: zod.string(), service: zod.string(), kind: zod.string(), per_second: zod.number().min(0.1).max(1_000),
  })).min(1),
  document: core.contracts.DOCUMENT_SCHEMA,
});

const READER = new core.contracts.TomlReader(SCHEMA);

type Kind = core.contracts.DocumentFields['services'][number]['kinds'][number];

/** Requests of one kind that one member sends. */
export interface DemoStream {
  readonly member: string;
  readonly service: string;
  readonly kind: Kind;
  readonly perSecond: number;
}

/** Preset of one deployment: its document, its instances and its load. */
export class DemoPreset {
  private constructor(private readonly fields: zod.infer<typeof SCHEMA>) {}

  /** Lists the names of the presets. */
  static listNames(): readonly string[] {
    return fs.readdirSync(DIRECTORY).filter((file) => file.endsWith('.toml')).map((file) => path.basename(file, '.toml')).sort();
  }

  /**
   * Reads a preset.
   * @param name - Name of the preset.
   * @param directory - Directory of the file `NAME.toml`; the one of this package if not given.
   */
  static readPreset(name: string, directory = DIRECTORY): neverthrow.Result<DemoPreset, demoFailure.DemoFailure> {
    return neverthrow.fromThrowable(() => fs.readFileSync(path.join(directory, `${name}.toml`), 'utf8'), () => 'the file cannot be read')()
      .andThen((text) => READER.read(text).mapErr(core.contracts.TomlReader.describeFailure))
      .mapErr((detail): demoFailure.DemoFailure => ({ type: 'preset-invalid', preset: name, detail }))
      .map((fields) => new DemoPreset(fields));
  }

  /** Gets the name of the deployment. */
  getDeployment(): string {
    return this.fields.document.deployment;
  }

  /** Gets the mode of the gray instance. */
  getGrayMode(): upstreams.UpstreamMode {
    return this.fields.gray_mode;
  }

  /** Gets the names of the places. */
  listPlaces(): readonly string[] {
    return this.fields.document.places.map((place) => place.name);
  }

  /** Lists the instances, spread over the places. */
  listInstances(): readonly demoUpstream.DemoUpstreamOptions[] {
    const places = this.listPlaces();
    return this.fields.instances.flatMap(({ service, count, service_time_ms: serviceTimeMs }) => {
      const slots = this.fields.document.services.find((each) => each.name === service)?.slots_per_instance ?? 1;
      return Array.from({ length: count }, (_, index) => ({
        name: `${service}-${index + 1}`, service, place: places[index % places.length]!, slots, serviceTimeMs,
      }));
    });
  }

  /** Lists the streams of requests. */
  listStreams(): readonly DemoStream[] {
    return this.fields.loads.flatMap(({
      member, service, kind: name, per_second: perSecond,
    }) => {
      const kind = this.fields.document.services.find((each) => each.name === service)?.kinds.find((each) => each.name === name);
      return kind === undefined ? [] : [{
        member, service, kind, perSecond,
      }];
    });
  }

  /**
   * Seals a version of the document, as the console would.
   * @param version - Version to seal.
   * @param keys - Keys of the console.
   */
  sealDocument(version: number, keys: core.contracts.DocumentKeys): string {
    const text = core.contracts.TomlDocumentCodec.encode({ ...this.fields.document, version });
    return core.contracts.DocumentSeal.sealText(text, keys.privateKey);
  }
}
