import { Builtins, type CommandClass } from 'clipanion'
import { AccountCommand } from './account.js'
import { ApplyCommand } from './apply.js'
import { CheckCommand } from './check.js'
import { DrainCommand } from './drain.js'
import { JobsCancelCommand } from './jobs-cancel.js'
import { JobsListCommand } from './jobs-list.js'
import { JobsResultsCommand } from './jobs-results.js'
import { JobsStatusCommand } from './jobs-status.js'
import { JobsSubmitCommand } from './jobs-submit.js'
import { HistoryCommand } from './history.js'
import { LoadCommand } from './load.js'
import { ReportCommand } from './report.js'
import { ServeCommand } from './serve.js'
import { StandInEngineCommand } from './stand-in-engine.js'
import { StandInPlatformCommand } from './stand-in-platform.js'
import { StandInServiceCommand } from './stand-in-service.js'
import { StatusCommand } from './status.js'
import { TimelineCommand } from './timeline.js'
import { TraceCommand } from './trace.js'

/** All commands of the program. */
export const commands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ServeCommand,
  ApplyCommand,
  CheckCommand,
  HistoryCommand,
  StatusCommand,
  TimelineCommand,
  TraceCommand,
  AccountCommand,
  ReportCommand,
  LoadCommand,
  DrainCommand,
  JobsSubmitCommand,
  JobsListCommand,
  JobsStatusCommand,
  JobsResultsCommand,
  JobsCancelCommand,
  StandInPlatformCommand,
  StandInEngineCommand,
  StandInServiceCommand
]
