import { z } from 'zod';

interface SchemaRow {
  key: string;
  type: string;
  defaultValue: string;
  description: string;
}

/**
 * Renders the reference documentation of a schema in Markdown: one section with a table per object.
 *
 * @param title - heading of the first section, and prefix of the headings of nested objects
 * @param schema - object schema whose keys have descriptions
 * @param level - heading level of all sections
 */
export function renderReference(title: string, schema: z.ZodType, level = 2): string {
  const json = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as JsonSchema;
  return renderObject(title, json, level).join('\n');
}

interface JsonSchema {
  type?: string;
  description?: string;
  default?: unknown;
  enum?: unknown[];
  const?: unknown;
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  properties?: Record<string, JsonSchema>;
  required?: string[];
  items?: JsonSchema;
  anyOf?: JsonSchema[];
  additionalProperties?: boolean | JsonSchema;
}

function renderObject(title: string, schema: JsonSchema, level: number): string[] {
  const rows: SchemaRow[] = [];
  const sections: string[] = [];
  for (const [key, child] of Object.entries(schema.properties ?? {})) {
    const nested = child.items?.properties ? child.items : child;
    if (nested.properties) {
      const suffix = child.items ? '[]' : '';
      sections.push(...renderObject(`${title}.${key}${suffix}`, nested, level));
      if (!child.items && !child.description) continue;
    }
    rows.push(toRow(key, child, schema.required?.includes(key) === true));
  }
  const lines = [`${'#'.repeat(level)} ${title}`, ''];
  if (schema.description) lines.push(schema.description, '');
  if (rows.length > 0) {
    lines.push('| key | type | default | meaning |', '| --- | --- | --- | --- |');
    for (const row of rows) {
      lines.push(`| \`${row.key}\` | ${row.type} | ${row.defaultValue} | ${row.description} |`);
    }
    lines.push('');
  }
  return [...lines, ...sections];
}

function toRow(key: string, schema: JsonSchema, isRequired: boolean): SchemaRow {
  const hasDefault = schema.default !== undefined && typeof schema.default !== 'object';
  const fallback = isRequired ? 'required' : '';
  return {
    key,
    type: typeName(schema),
    defaultValue: hasDefault ? `\`${JSON.stringify(schema.default)}\`` : fallback,
    description: (schema.description ?? '').replaceAll('|', '\\|'),
  };
}

function typeName(schema: JsonSchema): string {
  if (schema.enum) return schema.enum.map((value) => `\`${String(value)}\``).join(', ');
  if (schema.anyOf) return schema.anyOf.map(typeName).join(' or ');
  if (schema.items) return `list of ${typeName(schema.items)}`;
  const bounds: string[] = [];
  if (schema.exclusiveMinimum !== undefined) bounds.push(`> ${schema.exclusiveMinimum}`);
  if (schema.minimum !== undefined && schema.minimum > Number.MIN_SAFE_INTEGER) {
    bounds.push(`>= ${schema.minimum}`);
  }
  if (schema.maximum !== undefined && schema.maximum < Number.MAX_SAFE_INTEGER) {
    bounds.push(`<= ${schema.maximum}`);
  }
  const name = schema.type ?? 'value';
  return bounds.length > 0 ? `${name} ${bounds.join(', ')}` : name;
}
