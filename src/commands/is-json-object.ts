import * as t from 'typanion'

/** Validates an argument as a JSON object and coerces it to that object. */
export const isJsonObject = t.makeValidator<unknown, Readonly<Record<string, unknown>>>({
  test: (value, state): value is Readonly<Record<string, unknown>> => {
    const read = readJson(String(value))
    const isObject = typeof read === 'object' && read !== null && !Array.isArray(read)
    if (isObject && state?.coercion !== undefined) state.coercions?.push([state.p ?? '.', state.coercion.bind(null, read)])
    if (!isObject) state?.errors?.push(`${state.p ?? '.'}: expected a JSON object`)
    return isObject
  }
})

function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
