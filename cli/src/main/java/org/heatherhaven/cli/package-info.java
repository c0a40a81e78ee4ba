/** The command line: the node itself, operators' commands, stand-ins, demo and measurements. */
package org.heatherhaven.cli;
