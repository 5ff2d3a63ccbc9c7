import type * as lineReader from './LineReader.js';
import type * as planNames from './PlanNames.js';
import type * as traces from './Trace.js';

const OUTCOMES = ['answered', 'not-run', 'unknown'] as const;

/** Reads the outcomes that a trace states. */
export class OutcomeReader {
  /**
   * @param names - Names of the deployment.
   * @param requests - Names of the requests of the trace.
   */
  constructor(private readonly names: planNames.PlanNames, private readonly requests: ReadonlySet<string>) {}

  /**
   * Reads one outcome.
   * @param reader - Line after the word `expect`.
   */
  read(reader: lineReader.LineReader): traces.Expectation | undefined {
    const word = reader.takeWord('outcome');
    switch (word) {
      case 'runs':
        return { type: 'runs', name: this.takeRequest(reader), atMost: reader.readNumber('at-most') };
      case 'told':
      case 'never-told':
        return {
          type: word,
          name: this.takeRequest(reader),
          outcome: reader.takeChoice('outcome', OUTCOMES),
          via: reader.hasField('via') ? reader.readText('via') : undefined,
        };
      case 'floor-held':
        return { type: 'floor-held', service: this.takeService(reader) };
      case 'ejected':
      case 'detected':
        return { type: word, instance: this.takeInstance(reader), withinMs: reader.readDurationMs('within') };
      case 'never-ejected':
      case 'no-new-work':
        return { type: word, instance: this.takeInstance(reader) };
      case 'in-force':
        return { type: 'in-force', version: reader.readNumber('version'), withinMs: reader.readDurationMs('within') };
      case 'answered':
        return { type: 'answered', service: this.takeService(reader), share: reader.readNumber('share') };
      case 'no-request-cut':
        return { type: 'no-request-cut' };
      default:
        reader.refuse(`"${word}" is no outcome`);
        return undefined;
    }
  }

  private takeRequest(reader: lineReader.LineReader): string {
    const name = reader.takeName('request');
    if (!this.requests.has(name)) reader.refuse(`request ${name} is not stated above`);
    return name;
  }

  private takeService(reader: lineReader.LineReader): string {
    const name = reader.takeName('service');
    if (!this.names.services.has(name)) reader.refuse(`service ${name} is not declared`);
    return name;
  }

  private takeInstance(reader: lineReader.LineReader): string {
    const name = reader.takeName('instance');
    if (!this.names.instances.has(name)) reader.refuse(`there is no instance ${name}`);
    return name;
  }
}
