import * as uniformFloat64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro128plus from 'pure-rand/generator/xoroshiro128plus';

import * as randomSource from './RandomSource.js';

/** Random source that produces the same sequence for the same seed. */
export class SeededRandomSource extends randomSource.RandomSource {
  private readonly generator: ReturnType<typeof xoroshiro128plus.xoroshiro128plus>;

  /** @param seed - Integer seed. */
  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus.xoroshiro128plus(seed);
  }

  override drawFraction(): number {
    return uniformFloat64.uniformFloat64(this.generator);
  }
}
