package org.guavahatch.daemon

import java.nio.file.Path
import java.util.jar.JarFile

/**
 * Loads the classes that a gateway needs to serve requests, so that a JVM that runs with `-XX:ArchiveClassesAtExit`
 * includes them in its class archive. A gateway that starts from such an archive uses half the CPU time until it is
 * ready.
 */
internal object ClassPreloader {
    private val prefixes = listOf(
        "org/guavahatch/gateway/",
        "org/guavahatch/model/",
        "org/guavahatch/platform/",
        "org/guavahatch/scheduling/direct/",
        "io/netty/buffer/",
        "io/netty/handler/codec/http/Default",
        "io/netty/handler/codec/http/Http",
        "kotlinx/collections/immutable/",
        "kotlinx/serialization/cbor/",
        "kotlinx/serialization/json/",
    )

    /** Loads the classes from the JAR file of this program and returns their number. */
    fun load(): Int {
        val jar = Path.of(ClassPreloader::class.java.protectionDomain.codeSource.location.toURI()).toFile()
        return JarFile(jar).use { file -> file.entries().asSequence().map { it.name }.count(::loadClassOf) }
    }

    private fun loadClassOf(entry: String): Boolean {
        if (!entry.endsWith(CLASS_SUFFIX) || prefixes.none(entry::startsWith)) return false
        val name = entry.removeSuffix(CLASS_SUFFIX).replace('/', '.')
        // Some Netty classes need optional libraries that are not on the class path. The gateway does not use them.
        return runCatching { Class.forName(name, false, javaClass.classLoader) }.isSuccess
    }

    private const val CLASS_SUFFIX = ".class"
}
