import * as documentOrder from './DocumentOrder.js';
import * as startupCheck from './StartupCheck.js';

/** Creates the rules that the tasks for documents and operations decide by. A subclass replaces single rules. */
export class ContractRules {
  /** Creates the order of documents. */
  createDocumentOrder(): documentOrder.DocumentOrder {
    return new documentOrder.DocumentOrder();
  }

  /** Creates the rule by which a VM that starts begins to serve. */
  createStartupCheck(): startupCheck.StartupCheck {
    return new startupCheck.StartupCheck(this.createDocumentOrder());
  }
}
