// Prints the closing line that CI reads, counted from the report of the test runner.
import * as fs from 'node:fs';

const report = JSON.parse(fs.readFileSync('.vitest-report.json', 'utf8'));
const skipped = report.numPendingTests + (report.numTodoTests ?? 0);
process.stdout.write(`${report.numPassedTests} passed, ${report.numFailedTests} failed, ${skipped} skipped\n`);
