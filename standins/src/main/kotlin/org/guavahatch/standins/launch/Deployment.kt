package org.guavahatch.standins.launch

import kotlinx.serialization.builtins.ListSerializer
import org.guavahatch.standins.platform.ListedInstance
import org.guavahatch.standins.web.standInJson
import java.nio.file.Files
import java.nio.file.Path

/** An endpoint with its sidecar. */
class RunningEndpoint internal constructor(
    internal val plan: PlannedEndpoint,
    val endpointPort: Int,
    innerPort: Int,
    listedPort: Int,
    adminPort: Int,
) {
    /** Port of the sidecar for entry instances. */
    var innerPort: Int = innerPort
        private set

    internal var listedPort: Int = listedPort
        private set

    /** Port of the sidecar for operators. */
    var adminPort: Int = adminPort
        private set

    internal fun moveTo(newInnerPort: Int, newAdminPort: Int) {
        innerPort = newInnerPort
        listedPort = newInnerPort
        adminPort = newAdminPort
    }

    val name: String get() = plan.name

    /** Address of the stand-in. */
    val endpointUrl: String get() = "http://127.0.0.1:$endpointPort"

    /** Address of the sidecar for operators. */
    val adminUrl: String get() = "http://127.0.0.1:$adminPort"

    /** The stand-in. */
    lateinit var endpoint: ManagedProcess
        internal set

    /** The sidecar. */
    lateinit var sidecar: ManagedProcess
        internal set
}

/** An entry instance. */
class RunningEntry internal constructor(val name: String, val zone: String, val callerPort: Int, val adminPort: Int) {
    /** Address for callers. */
    val url: String get() = "http://127.0.0.1:$callerPort"

    /** Address for operators. */
    val adminUrl: String get() = "http://127.0.0.1:$adminPort"

    lateinit var process: ManagedProcess
        internal set
}

/** Processes of one deployment, each on its own, on the loopback address. */
class Deployment private constructor(
    private val plan: DeploymentPlan,
    private val platform: PlatformProcess,
    private val directory: Path,
) : AutoCloseable {
    val endpoints: List<RunningEndpoint> =
        plan.endpoints.map { endpoint ->
            val innerPort = FreePorts.next()
            RunningEndpoint(endpoint, FreePorts.next(), innerPort, plan.listedPort(innerPort), FreePorts.next())
        }

    val entries: List<RunningEntry> = List(plan.entryInstances) { index ->
        val zone = plan.zones[index % plan.zones.size]
        RunningEntry("${plan.name}-entry-${index + 1}", zone, FreePorts.next(), FreePorts.next())
    }

    /** Endpoints of [pool]. */
    fun pool(pool: String): List<RunningEndpoint> = endpoints.filter { it.plan.pool == pool }

    private fun startAll() {
        endpoints.forEach { startEndpoint(it) }
        endpoints.forEach { startSidecar(it) }
        entries.forEach { startEntry(it) }
        listInstances()
    }

    /** Waits until all processes take work. */
    fun awaitReady() {
        (endpoints.map { it.adminUrl } + entries.map { it.adminUrl }).forEach {
            LocalHttp.awaitOk("$it/ready", START_MILLISECONDS)
        }
        entries.forEach { entry -> awaitPeers(entry) }
    }

    private fun awaitPeers(entry: RunningEntry) {
        val until = System.nanoTime() + START_MILLISECONDS * NANOSECONDS_PER_MILLISECOND
        while (endpoints.any { "\"${it.name}\"" !in LocalHttp.get("${entry.adminUrl}/status").body() }) {
            check(System.nanoTime() < until) { "${entry.name} did not connect to all sidecars." }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    /** Starts the stand-in of [endpoint]. */
    fun startEndpoint(endpoint: RunningEndpoint) {
        val records = directory.resolve("${endpoint.name}.records").toString()
        val arguments = endpoint.plan.arguments +
            listOf("--port", endpoint.endpointPort.toString(), "--records-file", records)
        endpoint.endpoint = start("${endpoint.name}-endpoint", STAND_IN_MAIN, arguments)
    }

    /** Starts the sidecar of [endpoint], or a new run of it. */
    fun startSidecar(endpoint: RunningEndpoint) {
        val settings = write("${endpoint.name}.jsonc", sidecarSettings(endpoint))
        endpoint.sidecar = start(endpoint.name, DAEMON_MAIN, listOf("sidecar", "--settings", settings))
    }

    /**
     * Starts a second sidecar for [endpoint] on other ports after [strike] was done to the present one, and lists it in
     * place of the old one; returns the old one.
     */
    fun replaceSidecar(endpoint: RunningEndpoint, strike: (ManagedProcess) -> Unit): ManagedProcess {
        val old = endpoint.sidecar
        strike(old)
        endpoint.moveTo(FreePorts.next(), FreePorts.next())
        startSidecar(endpoint)
        listInstances()
        return old
    }

    /** Starts [entry], or a new run of it. */
    fun startEntry(entry: RunningEntry) {
        val settings = write("${entry.name}.jsonc", entrySettings(entry))
        entry.process = start(entry.name, DAEMON_MAIN, listOf("entry", "--settings", settings))
    }

    private fun start(name: String, mainClass: String, arguments: List<String>): ManagedProcess {
        val options = if (plan.isMeasured) ManagedProcess.MEASURED else ManagedProcess.SMALL
        return ManagedProcess.start(name, directory.resolve("$name.log"), mainClass, arguments, options)
    }

    private fun write(file: String, text: String): String = Files.writeString(directory.resolve(file), text).toString()

    private fun sidecarSettings(endpoint: RunningEndpoint) = """
        {
          "name": "${endpoint.name}",
          "pool": "${endpoint.plan.pool}",
          "zone": "${endpoint.plan.zone}",
          "innerPort": ${endpoint.innerPort},
          "adminPort": ${endpoint.adminPort},
          "endpointUrl": "${endpoint.endpointUrl}",
          "platformUrl": "${platform.url}",
          ${plan.sidecarSettings}
          "sharedKeys": ["$SHARED_KEY"],
        }
    """.trimIndent()

    private fun entrySettings(entry: RunningEntry) = """
        {
          "name": "${entry.name}",
          "deployment": "${plan.name}",
          "zone": "${entry.zone}",
          "callerPort": ${entry.callerPort},
          "adminPort": ${entry.adminPort},
          "platformUrl": "${platform.url}",
          "readinessMilliseconds": 300,
          ${plan.entrySettings}
          "sharedKeys": ["$SHARED_KEY"],
        }
    """.trimIndent()

    /** Tells the platform which sidecars there are; those of [without] are left out. */
    fun listInstances(without: Set<RunningEndpoint> = emptySet()) {
        val listed = (endpoints - without).map {
            ListedInstance(it.name, it.plan.pool, it.plan.zone, "127.0.0.1", it.listedPort)
        }
        val document = standInJson.encodeToString(ListSerializer(ListedInstance.serializer()), listed)
        LocalHttp.put("${platform.url}/instances/${plan.name}", document)
    }

    /** Runs the operators' command line; returns its exit code and what it printed. */
    fun operate(vararg arguments: String): OperatorResult {
        val log = Files.createTempFile(directory, "operator", ".log")
        val options = if (plan.isMeasured) ManagedProcess.MEASURED else ManagedProcess.SMALL
        val process = ManagedProcess.start("guavahatch", log, OPERATOR_MAIN, arguments.toList(), options)
        return OperatorResult(process.exitCode(), Files.readString(log))
    }

    /** Publishes the configuration in [file] on top of what is in force. */
    fun publish(file: Path): OperatorResult =
        operate("publish", file.toString(), "--platform", platform.url, "--comment", "deployment")

    /** Stops all processes gracefully; false if one had to be killed. */
    fun stopGracefully(): Boolean {
        val stoppedEntries = stop(entries.map { it.process })
        val stoppedSidecars = stop(endpoints.map { it.sidecar })
        endpoints.forEach { it.endpoint.kill() }
        return stoppedEntries && stoppedSidecars
    }

    private fun stop(processes: List<ManagedProcess>): Boolean {
        processes.forEach { it.terminate() }
        return processes.map { it.awaitEnd(STOP_MILLISECONDS).also { ended -> if (!ended) it.kill() } }.all { it }
    }

    override fun close() {
        entries.forEach { it.process.kill() }
        endpoints.forEach {
            it.sidecar.kill()
            it.endpoint.kill()
        }
    }

    companion object {
        private const val SHARED_KEY = "a-shared-key-for-stand-ins"
        private const val STOP_MILLISECONDS = 30_000L
        private const val POLL_MILLISECONDS = 50L
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /** Starts what [plan] says; settings and logs go to [directory]. Publish a configuration next. */
        fun start(plan: DeploymentPlan, platform: PlatformProcess, directory: Path): Deployment =
            Deployment(plan, platform, directory).also { it.startAll() }
    }
}

/** Exit code and output of the operators' command line. */
class OperatorResult internal constructor(val exitCode: Int, val output: String)
