/** Creates the rules and policies that the tasks for callers decide by. A subclass replaces single rules. */
export class CallerRules {}
