/** Creates the rules and policies that an `UpstreamTask` decides by. A subclass replaces single rules. */
export class UpstreamRules {}
