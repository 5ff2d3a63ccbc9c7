import * as fs from 'node:fs';
import * as path from 'node:path';
import * as vitest from 'vitest';

const ROOT = path.resolve(import.meta.dirname, '../../../..');
const SOURCES = ['packages/gateway/src', 'packages/front/src', 'platform/src'];
// Matches calls that log an event, with the name of the event; of a conditional expression both names.
const LOGGED_EVENT_PATTERN = /(?:\blog\(|logRequest\(|onEvent\(|log\.write\(|\brecord\(|event: )\s*(?:[a-zA-Z=' ]+\? )?'([a-z]+(?:-[a-z]+)+)'(?: : '([a-z]+(?:-[a-z]+)+)')?/g;

function listSourceFiles(folder: string): string[] {
  return fs.readdirSync(path.join(ROOT, folder), { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => path.join(entry.parentPath, entry.name));
}

vitest.describe('docs/OPERATIONS.md', () => {
  vitest.it('lists exactly the events that the code logs', () => {
    const logged = new Set(SOURCES.flatMap(listSourceFiles).flatMap((file) => (
      [...fs.readFileSync(file, 'utf8').matchAll(LOGGED_EVENT_PATTERN)].flatMap(([, event, alternative]) => [event!, ...alternative === undefined ? [] : [alternative]])
    )));
    const page = fs.readFileSync(path.join(ROOT, 'docs/OPERATIONS.md'), 'utf8').split('## Log')[1]!.split('## Metrics')[0]!;
    const listed = page.split('\n').filter((line) => line.startsWith('| `')).flatMap((line) => (
      [...line.split('|')[1]!.matchAll(/`([^`]+)`/g)].map((match) => match[1]!)
    ));
    vitest.expect([...logged].sort()).toEqual([...listed].sort());
  });
});
