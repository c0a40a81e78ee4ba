/** A small HTTP server for stand-ins, on a library. */
package org.heatherhaven.standin.http;
