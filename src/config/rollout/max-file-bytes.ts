/** Largest file of the folder, which must fit in one object of the platform. */
export const maxFileBytes = 250_000
