import * as cac from 'cac';

import * as slopeBench from './SlopeBench.js';

function formatSlope(slope: slopeBench.Slope): string {
  const rows = slope.points.map((point) => [
    String(point.value).padStart(8),
    `${(point.controlCpuShare * 100).toFixed(3)} % of a core`,
    `${(point.controlBytesPerSecond / 1_000).toFixed(2)} KB/s`,
    `${(point.heapBytes / 1e6).toFixed(2)} MB`,
    `${point.requestCpuMicroseconds.toFixed(1)} us a request`,
  ].join('  '));
  return [`decisions of one VM against ${slope.dimension}`, ...rows].join('\n');
}

function main(): void {
  const cli = cac.cac('bench');
  cli.option('--json', 'Print one JSON object');
  cli.help();
  const { options } = cli.parse();
  if (options['help'] === true) return;
  const slopes = new slopeBench.SlopeBench().run();
  if (options['json'] === true) process.stdout.write(`${JSON.stringify({ slopes })}\n`);
  else slopes.forEach((slope) => process.stdout.write(`${formatSlope(slope)}\n`));
}

main();
