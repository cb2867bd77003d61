import { fromTransition } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';
import type { Exploration, Specification, Step } from './types.js';

/** Limit on followed transitions, one per state. XState throws when an exploration exceeds it. */
const MAX_FOLLOWED_TRANSITIONS = 2_000_000;

interface Vertex<State> {
  state: State;
  depth: number;
  parent?: string;
  step?: Step;
}

/**
 * Explores a specification. The correct protocol is explored exhaustively. A faulty variant is
 * explored breadth-first until its invariant is violated, which yields a shortest trace.
 * XState enumerates the states; traces come from a search over its adjacency map.
 *
 * @param specification - the protocol
 * @param variant - id of a faulty variant, or undefined for the correct protocol
 */
export function explore<State>(specification: Specification<State>, variant?: string): Exploration {
  const logic = fromTransition<State, Step, never, undefined>(
    (state, step) => specification.next(state, step, variant),
    specification.initial,
  );
  const keyCache = new WeakMap<object, string>();
  const keyOf = (state: State): string => {
    const cached = keyCache.get(state as object);
    if (cached !== undefined) return cached;
    const key = JSON.stringify(state);
    keyCache.set(state as object, key);
    return key;
  };
  const targetId = specification.faultyVariants.find(({ id }) => id === variant)?.violates;
  const targetInvariant = specification.invariants.find(({ id }) => id === targetId);
  let isViolationFound = false;
  let transitions = 0;
  const seen = new Set([keyOf(specification.initial)]);
  const adjacencyMap: AdjacencyMap<State> = getAdjacencyMap(logic, {
    events: (snapshot) => {
      isViolationFound ||= targetInvariant?.holds(snapshot.context) === false;
      return isViolationFound ? [] : specification.steps(snapshot.context, variant);
    },
    // XState queues one element per transition. Following only the first transition into each
    // state keeps the queue short and still reaches every state by a shortest path.
    filterEvents: (snapshot, step) => {
      transitions += 1;
      const key = keyOf(specification.next(snapshot.context, step, variant));
      const isNew = !seen.has(key);
      seen.add(key);
      return isNew;
    },
    serializeState: (snapshot) => keyOf(snapshot.context) as never,
    serializeEvent: (event) => JSON.stringify(event) as never,
    limit: MAX_FOLLOWED_TRANSITIONS,
  }) as never;
  const vertices = breadthFirst<State>(adjacencyMap, specification.initial, keyOf);
  const vertexList = [...vertices.values()];
  const violations = specification.invariants.flatMap((invariant) => {
    const violating = vertexList.find((vertex) => !invariant.holds(vertex.state));
    return violating ? [{ invariant: invariant.id, trace: traceTo(vertices, violating) }] : [];
  });
  return {
    specification: specification.id,
    variant,
    states: vertexList.length,
    transitions,
    depth: vertexList.at(-1)?.depth ?? 0,
    violations,
  };
}

type AdjacencyMap<State> = Record<
  string,
  { transitions: Record<string, { event: Step; state: { context: State } }> }
>;

function breadthFirst<State>(
  map: AdjacencyMap<State>,
  initial: State,
  keyOf: (state: State) => string,
): Map<string, Vertex<State>> {
  const vertices = new Map<string, Vertex<State>>();
  vertices.set(keyOf(initial), { state: initial, depth: 0 });
  // Iterating over a Map includes entries added meanwhile, so the Map also serves as the queue.
  for (const [key, vertex] of vertices) {
    for (const { event, state } of Object.values(map[key]?.transitions ?? {})) {
      const nextKey = keyOf(state.context);
      if (vertices.has(nextKey)) continue;
      vertices.set(nextKey, {
        state: state.context,
        depth: vertex.depth + 1,
        parent: key,
        step: event,
      });
    }
  }
  return vertices;
}

function traceTo<State>(vertices: Map<string, Vertex<State>>, end: Vertex<State>): Step[] {
  const steps: Step[] = [];
  for (
    let vertex: Vertex<State> | undefined = end;
    vertex?.step;
    vertex = vertices.get(vertex.parent ?? '')
  ) {
    steps.unshift(vertex.step);
  }
  return steps;
}
