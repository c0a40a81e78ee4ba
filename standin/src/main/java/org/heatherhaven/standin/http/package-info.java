/** A small HTTP server for stand-ins, based on Netty. */
package org.heatherhaven.standin.http;
