/** A typed registry of the services that plug-ins offer to each other. */

/** Identifies a service and carries its type. */
export interface ServiceKey<T> {
    readonly name: string;
    /** Never set; it only carries the type of the service. */
    readonly type?: T;
}

/**
 * Creates the key of a service.
 * @param name - Must be unique in the process.
 */
export function createServiceKey<T>(name: string): ServiceKey<T> {
    return { name };
}

/** Holds the services of the process. */
export class ServiceRegistry {
    private readonly values = new Map<string, unknown>();

    /** Registers a service, replacing an earlier one with the same key. */
    setService<T>(key: ServiceKey<T>, value: T): void {
        this.values.set(key.name, value);
    }

    /** Returns a service, or undefined if no plug-in has registered it. */
    findService<T>(key: ServiceKey<T>): T | undefined {
        return this.values.get(key.name) as T | undefined;
    }

    /** Returns a service; throws if it is missing, which means that a plug-in's `dependsOn` list is incomplete. */
    getService<T>(key: ServiceKey<T>): T {
        if (!this.values.has(key.name)) {
            throw new Error(`service ${key.name} is not registered; add the plug-in that provides it to dependsOn`);
        }
        return this.values.get(key.name) as T;
    }
}
