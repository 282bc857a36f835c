/**
 * Queues the requests of one rank. Workspaces share slot time by max-min fairness, with start-time fair queueing: each
 * workspace has a tag that grows by the slot time it uses, and the lowest tag is served next. Requests of one workspace
 * keep their order, so a queue with a single workspace is first in, first out.
 */

/** The number of workspaces without queued requests whose tags are kept; twice as many trigger a removal of the lowest tags. */
const keptIdleFlows = 64;
/** The weight of a new request in the moving average of its workspace's slot time. */
const costWeight = 0.1;

interface QueueNode<T> {
    readonly item: T;
    readonly flow: Flow<T>;
    readonly cost: number;
    /** The position in the order of arrival. */
    readonly arrival: number;
    previous?: QueueNode<T> | undefined;
    next?: QueueNode<T> | undefined;
}

/** The requests of one workspace, in a linked list. */
interface Flow<T> {
    readonly workspace: string;
    /** The start tag of the next request, in milliseconds of slot time. */
    tag: number;
    /** The moving average of the slot time that the workspace's requests use, as a multiple of what is expected. */
    costFactor: number;
    size: number;
    head?: QueueNode<T> | undefined;
    tail?: QueueNode<T> | undefined;
}

interface Candidate<T> {
    readonly node: QueueNode<T>;
    readonly tag: number;
}

/** Options of `FairQueue.add`. */
export interface AddOptions {
    /** The workspace that the slot time is charged to; empty for requests without one, which form one group. */
    readonly workspace: string;
    /** The expected slot time in milliseconds. */
    readonly cost: number;
    /** Whether the item goes before the other items of its workspace. */
    readonly isFirst: boolean;
}

/** A queue of distinct items, ordered by max-min fairness between workspaces. */
export class FairQueue<T> {
    private readonly nodes = new Map<T, QueueNode<T>>();
    private readonly active = new Map<string, Flow<T>>();
    /** Workspaces without queued items that had some a short time ago. */
    private readonly idle = new Map<string, Flow<T>>();
    private virtualTime = 0;
    private arrivals = 0;

    /** Adds an item. Takes constant time. */
    add(item: T, { workspace, cost, isFirst }: AddOptions): void {
        const flow = this.active.get(workspace) ?? this.addActiveFlow(workspace);
        this.arrivals += 1;
        const node: QueueNode<T> = { item, flow, cost, arrival: this.arrivals };
        const before = isFirst ? undefined : flow.tail;
        const after = isFirst ? flow.head : undefined;
        node.previous = before;
        node.next = after;
        setNeighbours(flow, before, node);
        setNeighbours(flow, node, after);
        flow.size += 1;
        this.nodes.set(item, node);
    }

    /** Removes an item without charging its workspace; returns false if it is not queued. Takes constant time. */
    remove(item: T): boolean {
        const node = this.nodes.get(item);
        if (node === undefined) {
            return false;
        }
        this.nodes.delete(item);
        const { flow, previous, next } = node;
        setNeighbours(flow, previous, next);
        flow.size -= 1;
        if (flow.size === 0) {
            this.active.delete(flow.workspace);
            this.idle.set(flow.workspace, flow);
            this.removeExcessIdleFlows();
        }
        return true;
    }

    /** Removes an item that gets a slot, and charges its expected slot time to its workspace. */
    take(item: T): boolean {
        const node = this.nodes.get(item);
        if (node === undefined) {
            return false;
        }
        this.virtualTime = Math.max(this.virtualTime, node.flow.tag);
        node.flow.tag += node.cost * node.flow.costFactor;
        return this.remove(item);
    }

    /**
     * Records the slot time that a request has used. Later requests of its workspace are charged accordingly.
     * @remarks Charging the difference at once would be as fair in the long run, but one slow request would delay the next
     * ones of a workspace that uses less than its share.
     * @param cost - The expected slot time in milliseconds.
     * @param usedMs - The slot time that it used, in milliseconds.
     */
    recordUsage(workspace: string, cost: number, usedMs: number): void {
        const flow = this.active.get(workspace) ?? this.idle.get(workspace);
        if (flow !== undefined && cost > 0) {
            flow.costFactor += (usedMs / cost - flow.costFactor) * costWeight;
        }
    }

    /** Makes all workspaces equal again, at the end of a busy period. What their requests usually cost is kept. */
    removeHistory(): void {
        this.idle.forEach(flow => {
            flow.tag = 0;
        });
    }

    /** Returns the number of queued items. */
    getSize(): number {
        return this.nodes.size;
    }

    /** Lists all items in the order of arrival of their workspaces' queues. */
    listAll(): readonly T[] {
        return [...this.active.values()].flatMap(flow => listNodes(flow, flow.size).map(({ item }) => item));
    }

    /** Lists the items of a workspace in the order in which they will be served. */
    listOfWorkspace(workspace: string): readonly T[] {
        const flow = this.active.get(workspace);
        return flow === undefined ? [] : listNodes(flow, flow.size).map(({ item }) => item);
    }

    /** Lists the next items to be served. Takes time in proportion to the workspaces with queued items. */
    listNext(limit: number): readonly T[] {
        if (this.nodes.size === 0) {
            return [];
        }
        const flows = this.listFirstFlows(limit);
        const candidates = flows.flatMap(flow => {
            let tag = flow.tag;
            return listNodes(flow, limit).map((node): Candidate<T> => {
                const candidate = { node, tag };
                tag += node.cost * flow.costFactor;
                return candidate;
            });
        });
        const sorted = flows.length <= 1 ? candidates : candidates.sort(computeCandidateOrder);
        return sorted.slice(0, limit).map(({ node }) => node.item);
    }

    /** Counts the queued items of each workspace. */
    countByWorkspace(): ReadonlyMap<string, number> {
        return new Map([...this.active].map(([workspace, { size }]) => [workspace, size]));
    }

    /** Counts the items that are served up to the last of a workspace, if all take equally long. */
    countServedUpTo(workspace: string): number {
        const size = this.active.get(workspace)?.size ?? 0;
        let count = 0;
        for (const flow of this.active.values()) {
            count += Math.min(size, flow.size);
        }
        return count;
    }

    private addActiveFlow(workspace: string): Flow<T> {
        const flow: Flow<T> = this.idle.get(workspace) ?? { workspace, tag: 0, costFactor: 1, size: 0 };
        flow.tag = Math.max(flow.tag, this.virtualTime);
        this.idle.delete(workspace);
        this.active.set(workspace, flow);
        return flow;
    }

    /** Returns the workspaces whose first requests are served next. No other has one of the next `limit` items. */
    private listFirstFlows(limit: number): readonly Flow<T>[] {
        const first: Flow<T>[] = [];
        for (const flow of this.active.values()) {
            const position = first.findIndex(other => computeFlowOrder(flow, other) < 0);
            if (position >= 0) {
                first.splice(position, 0, flow);
                first.length = Math.min(limit, first.length);
            }
            else if (first.length < limit) {
                first.push(flow);
            }
        }
        return first;
    }

    /** Bounds the memory: the lowest tags have the least effect. */
    private removeExcessIdleFlows(): void {
        if (this.idle.size <= 2 * keptIdleFlows) {
            return;
        }
        const byTag = [...this.idle.values()].sort((a, b) => b.tag - a.tag);
        byTag.slice(keptIdleFlows).forEach(({ workspace }) => this.idle.delete(workspace));
    }
}

function setNeighbours<T>(flow: Flow<T>, before: QueueNode<T> | undefined, after: QueueNode<T> | undefined): void {
    if (before === undefined) {
        flow.head = after;
    }
    else {
        before.next = after;
    }
    if (after === undefined) {
        flow.tail = before;
    }
    else {
        after.previous = before;
    }
}

function listNodes<T>(flow: Flow<T>, limit: number): readonly QueueNode<T>[] {
    const nodes: QueueNode<T>[] = [];
    for (let node = flow.head; node !== undefined && nodes.length < limit; node = node.next) {
        nodes.push(node);
    }
    return nodes;
}

function computeFlowOrder<T>(a: Flow<T>, b: Flow<T>): number {
    return a.tag - b.tag || a.head!.arrival - b.head!.arrival;
}

/** Orders by tag. Items of one workspace stay in their order, because the sort is stable and their tags never decrease. */
function computeCandidateOrder<T>(a: Candidate<T>, b: Candidate<T>): number {
    const isSameFlow = a.node.flow === b.node.flow;
    return a.tag - b.tag || (isSameFlow ? 0 : a.node.arrival - b.node.arrival);
}
