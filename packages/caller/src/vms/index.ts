export * from './AddressBook.js';
export * from './AddressReader.js';
export type * from './VmAddress.js';
