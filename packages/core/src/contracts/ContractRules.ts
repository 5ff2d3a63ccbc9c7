/** Creates the rules that the tasks for documents and operations decide by. A subclass replaces single rules. */
export class ContractRules {}
