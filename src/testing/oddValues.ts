/** Values and mutations of stored entries, for tests of decoders: what another writer may leave. */
import fc from 'fast-check'

/** A JSON text that is nested `depth` levels deep. */
export function nestJson (depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth)
}

/** JSON texts of values that no field expects. */
export const oddJsonValues: readonly string[] = [
  'null', 'true', '""', '[]', '{}', '-1', '0.5', '1e400', '-1e400', '1e308', '9007199254740993', '"1"', '"\\u0000"', '"\\ud800"', nestJson(1_000), JSON.stringify('x'.repeat(100_000)), '{"__proto__":{"length":1}}'
]

/** Mutations of the JSON text of a sound entry: members replaced, removed or added, other numbers, texts cut, and bytes that are no text. */
export function mutateEntry (entry: Readonly<Record<string, unknown>>): fc.Arbitrary<string> {
  const names = [...Object.keys(entry), 'unknown']
  const members = names.map(name => ({ name, value: entry[name] })).filter(({ value }) => value !== undefined)
  const text = JSON.stringify(entry)
  const replaced = fc.tuple(fc.constantFrom(...names), fc.oneof(fc.constantFrom(...oddJsonValues), fc.json())).map(([changed, value]) => {
    const others = members.filter(({ name }) => name !== changed).map(member => `${JSON.stringify(member.name)}:${JSON.stringify(member.value)}`)
    return `{${[...others, `${JSON.stringify(changed)}:${value}`].join(',')}}`
  })
  const numbers = [...text.matchAll(/\d+/g)]
  const renumbered = fc.tuple(fc.nat(numbers.length - 1), fc.constantFrom('-1', '0', '65536', '99999', '1e300', '1e400', '9007199254740993')).map(([position, value]) => {
    const { index = 0, 0: digits = '' } = numbers[position] ?? {}
    return text.slice(0, index) + value + text.slice(index + digits.length)
  })
  return fc.oneof(
    { weight: 6, arbitrary: replaced },
    { weight: 3, arbitrary: renumbered },
    { weight: 1, arbitrary: fc.constantFrom(...names).map(removed => JSON.stringify({ ...entry, [removed]: undefined })) },
    { weight: 1, arbitrary: fc.nat(text.length).map(length => text.slice(0, length)) },
    { weight: 1, arbitrary: fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes).toString()) },
    { weight: 1, arbitrary: fc.json() }
  )
}
