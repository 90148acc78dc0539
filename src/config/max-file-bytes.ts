/** A file must fit in one object of the platform, beside others. */
export const maxFileBytes = 250_000
