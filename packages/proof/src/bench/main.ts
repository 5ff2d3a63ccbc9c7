import * as cac from 'cac';

import * as latencyBench from './LatencyBench.js';
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

function formatLatency(report: latencyBench.LatencyReport): string {
  const formatQuantiles = (name: string, quantiles: latencyBench.Quantiles): string => (
    `${name.padEnd(16)} p50 ${quantiles.p50.toFixed(2)} ms  p99 ${quantiles.p99.toFixed(2)} ms`);
  return [
    'latency of one entry process',
    formatQuantiles('direct', report.direct),
    formatQuantiles('through entry', report.throughEntry),
    formatQuantiles('added', report.added),
    `under load       ${report.requestsPerSecond.toFixed(0)} requests/s, answered ${report.answeredShare.toFixed(4)}`,
    `one core         ${report.requestsPerCoreSecond.toFixed(0)} requests/s`,
    `resident memory  ${(report.residentBytes / 1e6).toFixed(1)} MB`,
  ].join('\n');
}

async function main(): Promise<void> {
  const cli = cac.cac('bench');
  cli.option('--json', 'Print one JSON object');
  cli.option('--part <name>', 'latency, slopes or all', { default: 'all' });
  cli.help();
  const { options } = cli.parse();
  if (options['help'] === true) return;
  const latency = options['part'] === 'slopes' ? undefined : await new latencyBench.LatencyBench().run();
  if (latency?.isErr() === true) {
    process.stderr.write(`bench: ${JSON.stringify(latency.error)}\n`);
    process.exitCode = 1;
    return;
  }
  const report = latency?.isOk() === true ? latency.value : undefined;
  const slopes = options['part'] === 'latency' ? [] : new slopeBench.SlopeBench().run();
  if (options['json'] === true) {
    process.stdout.write(`${JSON.stringify({ latency: report, slopes })}\n`);
    return;
  }
  if (report !== undefined) process.stdout.write(`${formatLatency(report)}\n`);
  slopes.forEach((slope) => process.stdout.write(`${formatSlope(slope)}\n`));
}

void main();
