/** Creates configurations for tests. */

/** The contents of a test configuration that differ between tests. */
export interface CreateTestConfigurationOptions {
    /** Addresses by upstream identifier. The failure domain is the text of the identifier before the dash. */
    readonly upstreams: Readonly<Record<string, string>>;
    readonly slots?: number;
    readonly floor?: number;
    readonly retiredFeatures?: readonly string[];
    readonly deadlineMs?: number;
    readonly minimumStallMs?: number;
}

/** Creates a configuration with the service `docs` and routes for reads, orders and downloads. */
export function createTestConfiguration(options: CreateTestConfigurationOptions) {
    const deadlineMs = options.deadlineMs ?? 5_000;
    const commonFields = { service: "docs", deadlineMs };
    return {
        ranks: [
            { name: "urgent", guaranteedShare: 0.5 },
            { name: "normal", guaranteedShare: 0.2 },
            { name: "bulk", guaranteedShare: 0.1 },
        ],
        services: {
            docs: {
                upstreams: Object.entries(options.upstreams).map(([id, address]) => ({ id, address, failureDomain: id.split("-")[0] })),
                slots: options.slots ?? 3,
                connections: 330,
                floor: options.floor ?? 1,
                ...(options.minimumStallMs === undefined ? {} : { minimumStallMs: options.minimumStallMs }),
            },
        },
        routes: [
            { ...commonFields, name: "read", rank: "urgent", methods: ["GET", "HEAD"], pathPrefix: "/read", repeatable: true, feature: "reading" },
            { ...commonFields, name: "normal", rank: "normal", methods: ["GET"], pathPrefix: "/normal", repeatable: true },
            { ...commonFields, name: "order", rank: "urgent", methods: ["POST"], pathPrefix: "/orders", repeatable: false, feature: "ordering" },
            { ...commonFields, name: "free-order", rank: "urgent", methods: ["POST"], pathPrefix: "/free-orders", repeatable: false, orderKey: "optional" },
            { ...commonFields, name: "file", rank: "bulk", methods: ["GET"], pathPrefix: "/files", repeatable: true, feature: "proofs", deadlineMs: Math.max(deadlineMs, 30_000) },
        ],
        retiredFeatures: options.retiredFeatures ?? [],
    };
}
