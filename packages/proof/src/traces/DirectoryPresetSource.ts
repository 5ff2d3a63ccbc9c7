import * as fs from 'node:fs';
import * as path from 'node:path';
import * as neverthrow from 'neverthrow';

import * as presetSource from './PresetSource.js';

const DEFAULT_DIRECTORY = path.join(import.meta.dirname, '..', '..', 'presets');

/** Presets in the files of a directory, `NAME.trace`. */
export class DirectoryPresetSource extends presetSource.PresetSource {
  /** @param directory - Directory; the one of this package if not given. */
  constructor(private readonly directory = DEFAULT_DIRECTORY) {
    super();
  }

  override readPreset(name: string): neverthrow.Result<string, 'unknown'> {
    const read = neverthrow.fromThrowable(() => fs.readFileSync(path.join(this.directory, `${name}.trace`), 'utf8'), () => 'unknown' as const);
    return /^[a-z0-9-]+$/.test(name) ? read() : neverthrow.err('unknown');
  }
}
