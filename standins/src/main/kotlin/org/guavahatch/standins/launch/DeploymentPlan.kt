package org.guavahatch.standins.launch

/**
 * Endpoint to start, together with its sidecar.
 *
 * @property name name of the endpoint
 * @property pool endpoint pool that the endpoint belongs to
 * @property zone availability zone
 * @property arguments command line arguments of the stand-in, except port and records file
 */
class PlannedEndpoint internal constructor(
    val name: String,
    val pool: String,
    val zone: String,
    val arguments: List<String>,
)

/**
 * Processes of a deployment and their settings.
 *
 * @property name name of the deployment
 * @property zones availability zones, assigned round-robin
 * @property entryInstances number of entry instances
 * @property endpoints endpoints to start
 * @property entrySettings additional settings of entry instances, as JSON fields, each followed by a comma
 * @property sidecarSettings additional settings of sidecars, as JSON fields, each followed by a comma
 * @property optimizesForSpeed whether the JVM options favour speed, for measurements, over a small footprint
 * @property listedPort maps the port of a sidecar to the port in the instance list
 */
class DeploymentPlan internal constructor(
    val name: String,
    val zones: List<String>,
    val entryInstances: Int,
    val endpoints: List<PlannedEndpoint>,
    val entrySettings: String,
    val sidecarSettings: String,
    internal val optimizesForSpeed: Boolean,
    internal val listedPort: (Int) -> Int,
)

/** Builds a [DeploymentPlan]. */
class DeploymentPlanBuilder internal constructor(private val name: String) {
    private val endpoints = mutableListOf<PlannedEndpoint>()

    /** Availability zones, assigned round-robin to entry instances and endpoints. */
    var zones: List<String> = listOf("zone-a")

    /** Number of entry instances. */
    var entryInstances: Int = 2

    /** Additional settings of entry instances, as JSON fields, each followed by a comma. */
    var entrySettings: String = ""

    /** Additional settings of sidecars, as JSON fields, each followed by a comma. */
    var sidecarSettings: String = ""

    /** Whether the JVM options favour speed, for measurements, over a small footprint. */
    var optimizesForSpeed: Boolean = false

    /** Maps the port of a sidecar to the port in the instance list; called once for each sidecar. */
    var listedPort: (Int) -> Int = { it }

    /** Adds one engine to [pool] for each of [speeds]; [extra] is appended to the arguments of each. */
    fun engines(pool: String, vararg speeds: Double, extra: List<String> = emptyList()) {
        speeds.forEach { speed -> addEndpoint(pool, listOf("engine", "--speed", speed.toString()) + extra) }
    }

    /** Adds [count] applications to [pool] whose calls take [serviceMilliseconds]. */
    fun applications(pool: String, count: Int, serviceMilliseconds: Int = 5) {
        repeat(count) {
            addEndpoint(pool, listOf("application", "--service-milliseconds", serviceMilliseconds.toString()))
        }
    }

    private fun addEndpoint(pool: String, arguments: List<String>) {
        val number = endpoints.count { it.pool == pool } + 1
        endpoints += PlannedEndpoint("$pool-$number", pool, zones[endpoints.size % zones.size], arguments)
    }

    /** Returns the plan as configured so far. */
    internal fun build() = DeploymentPlan(
        name,
        zones,
        entryInstances,
        endpoints.toList(),
        entrySettings,
        sidecarSettings,
        optimizesForSpeed,
        listedPort,
    )
}

/** Creates the plan of the deployment [name]. */
fun deploymentPlan(name: String, configure: DeploymentPlanBuilder.() -> Unit): DeploymentPlan =
    DeploymentPlanBuilder(name).apply(configure).build()
