package org.guavahatch.daemon

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Command-line arguments of `guavahatchd`. */
internal class DaemonArguments {
    @Argument(index = 0, required = true, metaVar = "ROLE", usage = "role to run: entry, sidecar or gateway")
    var role: DaemonRole? = null

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file, JSON with comments")
    var settings: String = ""

    @Option(name = "--check", usage = "check the settings file and exit")
    var isCheckOnly: Boolean = false

    @Option(name = "--rehearse", usage = "start a gateway, load its classes and exit, to make a class archive")
    var isRehearsal: Boolean = false
}

/** Role of the daemon. The constants have the names that are used on the command line. */
@Suppress("EnumEntryName", "EnumNaming")
internal enum class DaemonRole {
    /** Accepts requests from callers and dispatches them to sidecars. */
    entry,

    /** Schedules and runs the requests of one endpoint. */
    sidecar,

    /** Forwards requests from callers directly to endpoints, on the users' platform. */
    gateway,
}
