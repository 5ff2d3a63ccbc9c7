// Prints the closing line that CI reads, counted from the report of the test runner, and decides the verdict:
// a failed test passes only if KNOWN-RED.txt lists it by its full name, on a line that begins with "test: ".
import * as fs from 'node:fs';

const report = JSON.parse(fs.readFileSync('.vitest-report.json', 'utf8'));
const listed = new Set(fs.readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim()));
const failed = report.testResults.flatMap((file) => file.assertionResults.filter((test) => test.status === 'failed').map((test) => test.fullName));
const unknown = failed.filter((name) => !listed.has(name));
failed.filter((name) => listed.has(name)).forEach((name) => process.stdout.write(`known red: ${name}\n`));
unknown.forEach((name) => process.stdout.write(`failed: ${name}\n`));
// A file that could not be run has no test to list.
const broken = report.testResults.filter((file) => file.status === 'failed' && file.assertionResults.length === 0);
broken.forEach((file) => process.stdout.write(`not run: ${file.name}\n`));
const skipped = report.numPendingTests + (report.numTodoTests ?? 0);
process.stdout.write(`${report.numPassedTests} passed, ${unknown.length} failed, ${skipped} skipped\n`);
process.exitCode = unknown.length + broken.length > 0 ? 1 : 0;
