import type * as neverthrow from 'neverthrow';

/** Where the deployments that traces name are kept. */
export abstract class PresetSource {
  /**
   * Reads the text of a preset.
   * @param name - Name of the deployment.
   */
  abstract readPreset(name: string): neverthrow.Result<string, 'unknown'>;
}
