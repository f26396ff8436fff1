/** Joins the log lines of several hosts about one job into one story. */

/** One line of a story. */
export interface StoryLine {
  readonly timeMs: number
  readonly host: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields that every line has, or that the story shows by itself. */
const hiddenFields: ReadonlySet<string> = new Set(['level', 'time', 'host', 'msg', 'jobId'])

/** Reads the lines about a job, ordered by the hosts' clocks; lines that are no log lines are left out. */
export function readStory (texts: readonly string[], jobId: string): readonly StoryLine[] {
  const lines = texts.flatMap(text => text.split('\n')).filter(line => line.includes(jobId)).flatMap(line => tryParseLine(line) ?? [])
  return lines.sort((left, right) => left.timeMs - right.timeMs)
}

/** Writes a story: the time since its first line, the host, the sentence, and the inputs of the decision. */
export function formatStory (lines: readonly StoryLine[]): string {
  const startMs = lines[0]?.timeMs ?? 0
  return lines.map(({ timeMs, host, message, fields }) => {
    const inputs = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    return `${((timeMs - startMs) / 1_000).toFixed(3).padStart(8)} s  ${host}  ${message}  ${inputs.join(' ')}`.trimEnd()
  }).join('\n')
}

/** A collector may have put a prefix before the JSON. */
function tryParseLine (line: string): StoryLine | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const record = JSON.parse(line.slice(start)) as Record<string, unknown>
    const { time, host, msg } = record
    if (typeof time !== 'number' || typeof msg !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !hiddenFields.has(name)))
    return { timeMs: time, host: String(host ?? ''), message: msg, fields }
  } catch {
    return undefined
  }
}
