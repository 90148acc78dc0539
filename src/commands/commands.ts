import { Builtins, type CommandClass } from 'clipanion'
import { ServeCommand } from './serve.js'
import { StandInEngineCommand } from './stand-in-engine.js'
import { StandInPlatformCommand } from './stand-in-platform.js'
import { StandInServiceCommand } from './stand-in-service.js'

/** Every command of the program. */
export const commands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ServeCommand,
  StandInPlatformCommand,
  StandInEngineCommand,
  StandInServiceCommand
]
