package org.guavahatch.standins.launch

/**
 * An endpoint that is to be started with its sidecar.
 *
 * @property name name of the endpoint
 * @property pool pool of the endpoint
 * @property zone availability zone
 * @property arguments command line of its stand-in, without the port
 */
class PlannedEndpoint internal constructor(
    val name: String,
    val pool: String,
    val zone: String,
    val arguments: List<String>,
)

/**
 * What a deployment is to consist of.
 *
 * @property name name of the deployment
 * @property zones availability zones, used in turn
 * @property entryInstances number of entry instances
 * @property endpoints endpoints
 * @property entrySettings settings of entry instances that differ from the defaults, as JSON fields
 * @property sidecarSettings settings of sidecars that differ from the defaults, as JSON fields
 * @property isMeasured whether the processes are to run as fast as they can
 * @property listedPort gives the port that the platform lists for a sidecar's own port
 */
class DeploymentPlan internal constructor(
    val name: String,
    val zones: List<String>,
    val entryInstances: Int,
    val endpoints: List<PlannedEndpoint>,
    val entrySettings: String,
    val sidecarSettings: String,
    internal val isMeasured: Boolean,
    internal val listedPort: (Int) -> Int,
)

/** Builds a [DeploymentPlan]. */
class DeploymentPlanBuilder internal constructor(private val name: String) {
    private val endpoints = mutableListOf<PlannedEndpoint>()

    /** Availability zones, used in turn. */
    var zones: List<String> = listOf("zone-a")

    /** Number of entry instances. */
    var entryInstances: Int = 2

    /** Further settings of entry instances, as JSON fields, each followed by a comma. */
    var entrySettings: String = ""

    /** Further settings of sidecars, as JSON fields, each followed by a comma. */
    var sidecarSettings: String = ""

    /** Whether the processes are to run as fast as they can, and not as small as they can. */
    var isMeasured: Boolean = false

    /** Gives the port that the platform lists for a sidecar's own port; called once for each sidecar. */
    var listedPort: (Int) -> Int = { it }

    /** Adds model engines, one for each of [speeds]. */
    fun engines(pool: String, vararg speeds: Double, extra: List<String> = emptyList()) {
        speeds.forEach { speed -> add(pool, listOf("engine", "--speed", speed.toString()) + extra) }
    }

    /** Adds [count] application services whose calls take [serviceMilliseconds]. */
    fun applications(pool: String, count: Int, serviceMilliseconds: Int = 5) {
        repeat(count) { add(pool, listOf("application", "--service-milliseconds", serviceMilliseconds.toString())) }
    }

    private fun add(pool: String, arguments: List<String>) {
        val number = endpoints.count { it.pool == pool } + 1
        endpoints += PlannedEndpoint("$pool-$number", pool, zones[endpoints.size % zones.size], arguments)
    }

    internal fun build() = DeploymentPlan(
        name,
        zones,
        entryInstances,
        endpoints.toList(),
        entrySettings,
        sidecarSettings,
        isMeasured,
        listedPort,
    )
}

/** Plans the deployment [name]. */
fun deploymentPlan(name: String, configure: DeploymentPlanBuilder.() -> Unit): DeploymentPlan =
    DeploymentPlanBuilder(name).apply(configure).build()
