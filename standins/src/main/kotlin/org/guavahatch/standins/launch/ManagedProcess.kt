package org.guavahatch.standins.launch

import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Child process started by a test, the demo or a measurement.
 *
 * @property name name of the process in messages
 */
class ManagedProcess internal constructor(val name: String, private val process: Process) {
    /** Whether the process has not exited yet; also true while it is suspended. */
    val isRunning: Boolean get() = process.isAlive

    /** Process id of the operating system. */
    val processId: Long get() = process.pid()

    /** Requests a graceful stop with SIGTERM. */
    fun terminate() {
        process.destroy()
    }

    /** Kills the process with SIGKILL and waits for it to exit. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Sends SIGHUP, which tells the process that its settings may have changed. */
    fun sendHangup() = sendSignal("HUP")

    /** Suspends the process with SIGSTOP until [resumeProcess]. */
    fun suspendProcess() = sendSignal("STOP")

    /** Resumes the suspended process with SIGCONT. */
    fun resumeProcess() = sendSignal("CONT")

    /** Waits until the process has exited; returns false if it is still running after [milliseconds]. */
    fun awaitExit(milliseconds: Long): Boolean = process.waitFor(milliseconds, TimeUnit.MILLISECONDS)

    /** Waits until the process has exited; returns its exit code. */
    fun awaitExitCode(): Int = process.waitFor()

    /** CPU time used by the process so far. */
    internal fun cpuTime(): Duration = process.info().totalCpuDuration().orElse(Duration.ZERO)

    /** Resident memory of the process (VmRSS), read from the proc file system of Linux. */
    internal fun residentMegabytes(): Double {
        val line = Files.readAllLines(Path.of("/proc/$processId/status")).first { it.startsWith("VmRSS:") }
        return line.filter { it.isDigit() }.toDouble() / KILOBYTES_PER_MEGABYTE
    }

    private fun sendSignal(name: String) {
        ProcessBuilder("kill", "-$name", processId.toString()).inheritIO().start().waitFor()
    }

    companion object {
        private const val KILOBYTES_PER_MEGABYTE = 1024.0

        /** JVM options for many short-lived processes on one machine. */
        val SMALL_JVM_OPTIONS = listOf(
            "-Xmx160m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ActiveProcessorCount=2",
            "-Xshare:auto",
        )

        /** JVM options for measurements. */
        internal val MEASUREMENT_JVM_OPTIONS = listOf("-Xmx256m", "-XX:+UseSerialGC", "-Xshare:auto")

        /** Starts a JVM with [mainClass] on [classPath], by default that of this process. It logs to [log]. */
        fun start(
            name: String,
            log: Path,
            mainClass: String,
            arguments: List<String>,
            options: List<String> = SMALL_JVM_OPTIONS,
            classPath: String = System.getProperty("java.class.path"),
        ): ManagedProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command = listOf(java) + options + "-cp" + classPath + mainClass + arguments
            val output = ProcessBuilder.Redirect.appendTo(log.toFile())
            val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
            return ManagedProcess(name, process)
        }
    }
}
