import { createRequire } from 'node:module'
import vm from 'node:vm'

/** V8's code cache of a program, made once its modules have run, so that it holds what they compile as they load. */
export function createCodeCache (text, filename) {
  const script = new vm.Script(text, { filename })
  const program = { exports: {} }
  script.runInThisContext()(createRequire(import.meta.url), program, program.exports)
  return script.createCachedData()
}
