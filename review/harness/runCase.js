import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeProcess from 'node:process';

import * as deployment from './Deployment.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const EXIT_CODES = { held: 0, broken: 1, 'not-run': 2 };

/**
 * Runs one case and exits with its result. `play` gets the deployment and whether the disruption takes place, and returns `held`, `broken`
 * or `not-run` with a line of text.
 */
export async function runCase(folder, layout, play) {
  const trouble = nodeProcess.default.env.TROUBLE === '0' ? 'left out' : 'injected';
  if (!fs.existsSync(path.join(ROOT, 'target/tamarackferry-front.mjs'))) {
    nodeProcess.default.stdout.write('not-run: build the deployed program first\n');
    nodeProcess.default.exit(EXIT_CODES['not-run']);
  }
  const tested = new deployment.Deployment({ folder, ...layout });
  tested.record.write(`start    disruption ${trouble}`);
  const end = async ({ result, text }) => {
    tested.record.write(`result   ${result}: ${text}`);
    await tested.close();
    nodeProcess.default.stdout.write(`${result}: ${text}\n`);
    nodeProcess.default.exit(EXIT_CODES[result]);
  };
  try {
    await end(await play(tested, trouble));
  } catch (error) {
    await end({ result: 'not-run', text: error.stack });
  }
}
