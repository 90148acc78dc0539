/** Receives the tokens of one answer one by one. */
export type TokenWriter = (word: string, last: boolean) => void
